import type { HeaderFields } from "../outcomes/index.js";
import { RefusalReason } from "../outcomes/index.js";
import type { Credentials } from "./Credentials.js";
import { RefusalError } from "./RefusalError.js";

const KEY_PATTERN = /^Bearer ([A-Za-z0-9_-]{1,128})\.([A-Za-z0-9_-]{1,256})$/i;

/**
 * Parses a caller's key from "Authorization: Bearer <id>.<secret>"; returns undefined if there is none. Throws a
 * RefusalError if the field is malformed.
 * @param headers - The request's header fields.
 */
export function parseCredentials(headers: HeaderFields): Credentials | undefined {
    const field = headers.authorization;
    if (field === undefined) {
        return undefined;
    }
    const match = typeof field === "string" ? KEY_PATTERN.exec(field) : undefined;
    if (!match) {
        throw new RefusalError(RefusalReason.UnknownKey, "The Authorization field is not \"Bearer <id>.<secret>\".");
    }
    return { keyId: match[1]!, secret: match[2]! };
}
