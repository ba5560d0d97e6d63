import { createHash } from "node:crypto";
import type { OperatorSettings } from "../settings/index.js";
import { isTimingSafeEqual } from "../utils/index.js";

const BEARER_PATTERN = /^Bearer +([^ ]+)$/i;

/**
 * Finds the operator whose bearer token a request carries. Compares with every operator's hash in constant time.
 * @param operators - All configured operators.
 * @param authorization - The request's Authorization header.
 */
export function findOperator(
    operators: readonly OperatorSettings[],
    authorization: string | undefined,
): OperatorSettings | undefined {
    const token = BEARER_PATTERN.exec(authorization ?? "")?.[1];
    if (token === undefined) {
        return undefined;
    }
    const hash = createHash("sha256").update(token).digest("base64url");
    return operators.filter(operator => isTimingSafeEqual(operator.tokenHash, hash)).at(0);
}
