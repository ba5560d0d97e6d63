import { ChangeKind } from "../configuration/index.js";
import { UnexpectedVariantError } from "../errors/index.js";

/**
 * Parses the body of an endpoint for one item into the body of a change; the change's schema checks the values.
 * @param path - The endpoint.
 * @param body - Its body: id, baseVersion and the fields of the operation.
 */
export function parseItemChange(path: "/v1/drain/upstream" | "/v1/keys" | "/v1/keys/withdraw", body: unknown): unknown {
    const { id, baseVersion, ...fields } = typeof body === "object" && body !== null ? body as ItemChange : {};
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

interface ItemChange {
    readonly id?: unknown;
    readonly baseVersion?: unknown;
}
