/** An address that the lookup has named. */
export interface EntryAddress {
    /** As "http://ip:port". */
    readonly url: string;
    /** What an Idempotency-Key sent there begins with. */
    readonly keyPrefix: string;
}
