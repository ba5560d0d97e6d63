import { FuchsiapathError } from "./FuchsiapathError.js";

/** An upstream's answer was not read to its end in time; the reader was too slow, not the upstream. */
export class SlowReaderError extends FuchsiapathError {}
