import { z } from "zod";

/** A document whose sections are checked one by one. */
export const documentFrameSchema = z.strictObject({ sections: z.record(z.string(), z.unknown()) });
