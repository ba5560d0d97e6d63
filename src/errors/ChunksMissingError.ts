import { FuchsiapathError } from "./FuchsiapathError.js";

/** Chunks of a head version could be had neither from peers nor from the store. */
export class ChunksMissingError extends FuchsiapathError {
    /**
     * @param version - The head version.
     * @param count - How many chunks are missing.
     */
    constructor(version: number, count: number) {
        super(`${count} chunks of version ${version} can't be had.`);
    }
}
