import { z } from "zod";

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$/;

/** Schema of the name of an account, key, route, service, upstream, zone, section or operator. */
export const nameSchema = z.string().regex(NAME_PATTERN, "must be 1 to 64 letters, digits, '-' or '_'");
