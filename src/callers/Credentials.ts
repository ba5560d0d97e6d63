/** The two parts of a caller's key. */
export interface Credentials {
    readonly keyId: string;
    readonly secret: string;
}
