import { FuchsiapathError } from "./FuchsiapathError.js";

/** Thrown when a body is refused or given up, as memory is short or the body doesn't come. */
export class MemoryShortError extends FuchsiapathError {}
