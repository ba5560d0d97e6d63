/** The largest value that the platform's store takes, in bytes of UTF-8. */
export const STORE_VALUE_LIMIT_BYTES = 1_048_576;
