/** Maximum size of a value in the platform's store, in bytes of UTF-8. */
export const STORE_VALUE_LIMIT_BYTES = 1_048_576;
