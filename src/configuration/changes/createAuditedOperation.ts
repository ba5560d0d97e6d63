import { UnexpectedVariantError } from "../../errors/index.js";
import type { AuditRecord } from "./AuditRecord.js";
import { ChangeKind } from "./ChangeKind.js";
import type { ChangeOperation } from "./ChangeOperation.js";

/**
 * Creates the audit record of an operation, without the salts and hashes of keys.
 * @param operation - The operation.
 */
export function createAuditedOperation(operation: ChangeOperation): AuditRecord["operations"][number] {
    const { kind } = operation;
    switch (operation.kind) {
        case ChangeKind.PutSection:
        case ChangeKind.RemoveSection:
            return { kind, subject: operation.section };
        case ChangeKind.PutAccount: {
            const { name, rate, burst } = operation.account;
            return { kind, subject: name, detail: `rate ${rate}, burst ${burst}, section ${operation.section}` };
        }
        case ChangeKind.RemoveAccount:
            return { kind, subject: operation.account };
        case ChangeKind.PutKey: {
            const { id, account } = operation.key;
            return { kind, subject: id, detail: `account ${account}, section ${operation.section}` };
        }
        case ChangeKind.WithdrawKey:
            return { kind, subject: operation.keyId };
        case ChangeKind.DrainUpstream:
            return { kind, subject: operation.upstream, detail: operation.draining ? "drain" : "restore" };
        default:
            throw new UnexpectedVariantError(operation);
    }
}
