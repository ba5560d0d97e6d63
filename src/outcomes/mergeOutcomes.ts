import { closeBody } from "./closeBody.js";
import type { Outcome } from "./Outcome.js";
import { OutcomeKind } from "./OutcomeKind.js";

/**
 * Selects the outcome to report of two attempts of one request, the later one of equals; an unknown outcome goes before a refusal, which
 * would say that the request has not run. The body of the other outcome is closed.
 * @param earlier - The outcome of the attempt that ended first; undefined if there is none.
 * @param later - The outcome of the other attempt; undefined if there is none.
 */
export function mergeOutcomes(earlier: Outcome | undefined, later: Outcome | undefined): Outcome | undefined {
    const isEarlierUsed = later === undefined || (earlier !== undefined && getRank(earlier) > getRank(later));
    const [used, unused] = isEarlierUsed ? [earlier, later] : [later, earlier];
    if (unused !== undefined) {
        closeBody(unused);
    }
    return used;
}

function getRank({ kind }: Outcome): number {
    switch (kind) {
        case OutcomeKind.NotRun:
            return 0;
        case OutcomeKind.Unknown:
            return 1;
        case OutcomeKind.Done:
            return 2;
    }
}
