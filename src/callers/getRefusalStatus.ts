import { UnexpectedVariantError } from "../errors/index.js";
import { RefusalReason } from "../outcomes/index.js";

/**
 * Gets the HTTP status code of a refusal.
 * @param reason - Why the request was not run.
 */
export function getRefusalStatus(reason: RefusalReason): number {
    switch (reason) {
        case RefusalReason.MalformedRequest:
        case RefusalReason.IdempotencyKeyRequired:
        case RefusalReason.NotSendable:
            return 400;
        case RefusalReason.UnknownKey:
        case RefusalReason.WithdrawnKey:
            return 401;
        case RefusalReason.RouteNotAllowed:
            return 403;
        case RefusalReason.UnknownRoute:
            return 404;
        case RefusalReason.MethodNotAllowed:
            return 405;
        case RefusalReason.IdempotencyKeyExpired:
            return 410;
        case RefusalReason.BodyTooLarge:
            return 413;
        case RefusalReason.IdempotencyKeyReused:
        case RefusalReason.RequestQuarantined:
            return 422;
        case RefusalReason.RateExceeded:
            return 429;
        case RefusalReason.Overloaded:
        case RefusalReason.NoUpstream:
        case RefusalReason.HostNotCurrent:
        case RefusalReason.HostStopping:
        case RefusalReason.SenderStopping:
        case RefusalReason.HostCutOff:
        case RefusalReason.HostUnreachable:
        case RefusalReason.StoreUnavailable:
        case RefusalReason.RetryBudgetSpent:
        case RefusalReason.EntryDefective:
            return 503;
        case RefusalReason.DeadlineExceeded:
            return 504;
        default:
            throw new UnexpectedVariantError(reason);
    }
}
