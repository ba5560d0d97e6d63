import { FuchsiapathError } from "./FuchsiapathError.js";

/** Chunks of a head version could not be fetched from peers or from the store. */
export class ChunksMissingError extends FuchsiapathError {
    /**
     * @param version - The head version.
     * @param count - The number of missing chunks.
     */
    constructor(version: number, count: number) {
        super(`${count} chunks of version ${version} could not be fetched.`);
    }
}
