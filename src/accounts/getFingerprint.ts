import { createHash } from "node:crypto";
import type { CallerRequest } from "../requests/index.js";

/**
 * Gets a digest of a request's account, method, path and body.
 * @param account - The account's name; undefined for a caller without an API key.
 * @param request - The request.
 */
export function getFingerprint(account: string | undefined, request: CallerRequest): string {
    const hash = createHash("sha256");
    hash.update(JSON.stringify([account ?? null, request.method, request.path]));
    hash.update(request.body);
    return hash.digest("base64url");
}
