import { UnexpectedVariantError } from "../../errors/index.js";
import { isDefiniteStatus } from "../exchange/isDefiniteStatus.js";
import { UpstreamAnswerKind } from "../exchange/UpstreamAnswerKind.js";
import type { UpstreamAttempt } from "../exchange/UpstreamAttempt.js";
import { ObservationKind } from "./ObservationKind.js";
import type { UpstreamObservation } from "./UpstreamObservation.js";

const GATEWAY_TIMEOUT = 504;

/**
 * Creates the observation of an attempt; undefined if the result is known only at the end of the answer, or the attempt says nothing
 * about the upstream.
 * @param attempt - The attempt.
 * @param requestId - Its request.
 * @param minWaitMs - An attempt that times out sooner doesn't count as a failure of the upstream, in milliseconds.
 */
export function createObservation(
    attempt: UpstreamAttempt,
    requestId: string,
    minWaitMs: number,
): UpstreamObservation | undefined {
    const { answer, latencyMs } = attempt;
    const create = (kind: ObservationKind, detail: string): UpstreamObservation => ({
        kind,
        requestId,
        latencyMs,
        detail,
    });
    switch (answer.kind) {
        case UpstreamAnswerKind.Answered:
            if (answer.status === GATEWAY_TIMEOUT && latencyMs < minWaitMs) {
                return create(ObservationKind.Cancelled, "a short deadline passed");
            }
            return isDefiniteStatus(answer.status)
                ? undefined
                : {
                    ...create(ObservationKind.Failure, `status ${answer.status}`),
                    isAnswered: answer.status !== GATEWAY_TIMEOUT,
                };
        case UpstreamAnswerKind.ConnectFailed:
            return create(ObservationKind.ConnectFailed, answer.detail);
        case UpstreamAnswerKind.NotSendable:
            return undefined;
        case UpstreamAnswerKind.Shed:
            return create(ObservationKind.Shed, "load shed");
        case UpstreamAnswerKind.TimedOut:
            return latencyMs >= minWaitMs
                ? create(ObservationKind.Failure, `no first byte within ${Math.round(latencyMs)} ms`)
                : create(ObservationKind.Cancelled, "a short deadline passed");
        case UpstreamAnswerKind.ConnectionLost:
            return create(ObservationKind.Lost, answer.detail);
        case UpstreamAnswerKind.Invalid:
            return { ...create(ObservationKind.Failure, `invalid answer: ${answer.detail}`), isAnswered: true };
        case UpstreamAnswerKind.Aborted:
            return create(ObservationKind.Cancelled, "the caller left");
        case UpstreamAnswerKind.Superseded:
            return create(ObservationKind.Cancelled, "another attempt has answered");
        default:
            throw new UnexpectedVariantError(answer);
    }
}
