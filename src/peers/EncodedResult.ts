/** The result of a call as it is sent. */
export interface EncodedResult {
    readonly body: Buffer;
    /** The header fields that tell how to decode it. */
    readonly headers: Readonly<Record<string, string>>;
}
