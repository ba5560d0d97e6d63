import { FuchsiapathError } from "./FuchsiapathError.js";

/** Whether a change has taken effect can't be told any more, since too many others have come after it. */
export class UnknownChangeOutcomeError extends FuchsiapathError {
    /** @param changeId - The change's id. */
    constructor(changeId: string) {
        super(`Whether change ${changeId} has taken effect can't be told any more.`);
    }
}
