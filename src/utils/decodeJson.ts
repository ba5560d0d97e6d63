/**
 * Decodes what encodeJson encoded; throws a SyntaxError if it is not JSON.
 * @param text - The encoded value.
 */
export function decodeJson(text: string): unknown {
    return JSON.parse(Buffer.from(text, "base64url").toString());
}
