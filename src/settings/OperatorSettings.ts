/** An operator who may use the operators' endpoints. */
export interface OperatorSettings {
    readonly name: string;
    /** SHA-256 of the operator's token, in base64url. */
    readonly tokenHash: string;
}
