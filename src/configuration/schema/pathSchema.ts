import { z } from "zod";

const MAX_PATH_LENGTH = 512;
const PATH_PATTERN = /^\/$|^(?:\/[A-Za-z0-9._~!$&'()*+,;=:@-]+)+$/;
const DOT_SEGMENT_PATTERN = /\/\.{1,2}(?:\/|$)/;

/** Schema of a path prefix that consists of whole segments. */
export const pathSchema = z.string().max(MAX_PATH_LENGTH)
    .regex(PATH_PATTERN, "must be a path of whole segments without a slash at its end, as \"/orders\"")
    .refine(path => !DOT_SEGMENT_PATTERN.test(path), "must have no segment \".\" or \"..\"");
