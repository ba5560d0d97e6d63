/** An operator who may use the operator API. */
export interface OperatorSettings {
    readonly name: string;
    /** SHA-256 of the operator's token, in base64url. */
    readonly tokenHash: string;
}
