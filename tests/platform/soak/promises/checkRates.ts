import type { Finding } from "./Finding.js";
import type { SoakEvidence } from "./SoakEvidence.js";

const WINDOW_MS = 5_000;
const MS_PER_SECOND = 1_000;
const OVERSHOOT = 0.1;
const SLACK = 20;
/** The account with a rate in the documents of the soak. */
const ACCOUNT = { name: "clogs", rate: 34, burst: 34 };
const ALLOWED = (ACCOUNT.rate * WINDOW_MS / MS_PER_SECOND + ACCOUNT.burst) * (1 + OVERSHOOT) + SLACK;

/**
 * Checks that an account's requests that were sent and ran within any five seconds stay at its rate and burst.
 * @param evidence - What was seen.
 */
export function checkRates({ calls, runs }: SoakEvidence): Finding[] {
    const ofAccount = runs.filter(run => run.account === ACCOUNT.name).sort((left, right) => left.time - right.time);
    let worst: readonly string[] = [];
    ofAccount.forEach((first, index) => {
        const inWindow: string[] = [];
        for (let next = index; next < ofAccount.length; next++) {
            const run = ofAccount[next]!;
            if (run.time > first.time + WINDOW_MS) {
                break;
            }
            // A lookup that is sent again runs twice; only its first run counts.
            if ((calls.get(run.id)?.sentTime ?? 0) >= first.time - 1 && !inWindow.includes(run.id)) {
                inWindow.push(run.id);
            }
        }
        worst = inWindow.length > worst.length ? inWindow : worst;
    });
    return worst.length <= ALLOWED ? [] : [{
        promise: "QUOTA",
        detail: `${worst.length} requests of ${ACCOUNT.name} ran within ${WINDOW_MS} ms, ${
            Math.floor(ALLOWED)
        } allowed`,
        requests: worst,
    }];
}
