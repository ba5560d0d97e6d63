import { FuchsiapathError } from "./FuchsiapathError.js";

/** It can no longer be determined whether a change has taken effect, since too many others have followed it. */
export class UnknownChangeOutcomeError extends FuchsiapathError {
    /** @param changeId - The change's id. */
    constructor(changeId: string) {
        super(`It can no longer be determined whether change ${changeId} has taken effect.`);
    }
}
