/** A client account's key, kept as a salted hash only. */
export interface AccountKey {
    /** The public part of the key, before the dot. */
    readonly id: string;
    readonly account: string;
    /** Random salt in base64url. */
    readonly salt: string;
    /** HMAC-SHA-256 of the secret part under the salt, in base64url. */
    readonly hash: string;
    readonly withdrawn?: boolean;
}
