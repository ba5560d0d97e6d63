import { FuchsiapathError } from "./FuchsiapathError.js";

/** A change conflicted with other changes too many times; it has not taken effect. */
export class TooManyConflictsError extends FuchsiapathError {
    /** @param changeId - The change's id. */
    constructor(changeId: string) {
        super(`Change ${changeId} conflicted with other changes too many times.`);
    }
}
