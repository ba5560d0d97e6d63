import type { Outcome } from "./Outcome.js";
import { OutcomeKind } from "./OutcomeKind.js";

/**
 * Closes the body of an outcome that is not used.
 * @param outcome - The outcome.
 */
export function closeBody(outcome: Outcome): void {
    if (outcome.kind === OutcomeKind.Done) {
        outcome.body.on("error", () => {});
        outcome.body.destroy();
    }
}
