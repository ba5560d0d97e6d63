import { checkChanges } from "./checkChanges.js";
import { checkRates } from "./checkRates.js";
import { checkResponses } from "./checkResponses.js";
import { checkRetries } from "./checkRetries.js";
import { checkRuns } from "./checkRuns.js";
import type { Finding } from "./Finding.js";
import type { PromiseBounds } from "./PromiseBounds.js";
import type { SoakEvidence } from "./SoakEvidence.js";

/**
 * Checks all promises that callers and upstreams can see.
 * @param evidence - What was seen.
 * @param bounds - The times of promises with a time; undefined leaves those out, as on a machine of unknown speed.
 */
export function checkPromises(evidence: SoakEvidence, bounds: PromiseBounds | undefined): Finding[] {
    return [
        ...checkRuns(evidence),
        ...checkResponses(evidence),
        ...(bounds === undefined
            ? []
            : [...checkRates(evidence), ...checkRetries(evidence), ...checkChanges(evidence, bounds)]),
    ];
}
