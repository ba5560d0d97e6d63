import { ChangeKind } from "../configuration/index.js";
import { UnexpectedVariantError } from "../errors/index.js";

/**
 * Converts the body of a single-item endpoint into the body of a change. The values are checked later by the change's schema.
 * @param path - The endpoint's path.
 * @param body - The request body: id, baseVersion and the fields of the operation.
 */
export function parseItemChange(path: "/v1/drain/upstream" | "/v1/keys" | "/v1/keys/withdraw", body: unknown): unknown {
    const { id, baseVersion, ...fields } = typeof body === "object" && body !== null ? body as ItemChangeBody : {};
    switch (path) {
        case "/v1/drain/upstream":
            return { id, baseVersion, operations: [{ kind: ChangeKind.DrainUpstream, ...fields }] };
        case "/v1/keys":
            return { id, baseVersion, operations: [{ kind: ChangeKind.PutKey, ...fields }] };
        case "/v1/keys/withdraw":
            return { id, baseVersion, operations: [{ kind: ChangeKind.WithdrawKey, ...fields }] };
        default:
            throw new UnexpectedVariantError(path);
    }
}

interface ItemChangeBody {
    readonly id?: unknown;
    readonly baseVersion?: unknown;
}
