import { z } from "zod";

/** Schema of a document's outer structure; its sections are checked one by one. */
export const documentFrameSchema = z.strictObject({ sections: z.record(z.string(), z.unknown()) });
