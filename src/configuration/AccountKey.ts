/** An API key of a client account, stored as a salted hash only. */
export interface AccountKey {
    /** The public part of the key, before the dot; identifies the key. */
    readonly id: string;
    readonly account: string;
    /** Random salt in base64url. */
    readonly salt: string;
    /** HMAC-SHA-256 of the secret part, keyed with the salt, in base64url. */
    readonly hash: string;
    readonly withdrawn?: boolean;
}
