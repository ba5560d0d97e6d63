import { FuchsiapathError } from "./FuchsiapathError.js";

/** A change gave way to other changes too many times; it has not taken effect. */
export class TooManyConflictsError extends FuchsiapathError {
    /** @param changeId - The change's id. */
    constructor(changeId: string) {
        super(`Change ${changeId} gave way to other changes too many times.`);
    }
}
