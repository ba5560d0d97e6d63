import { FuchsiapathError } from "./FuchsiapathError.js";

/** An upstream's answer was not read to its end in time. */
export class SlowReaderError extends FuchsiapathError {}
