/** HTTP header fields by lower-case name. */
export type HeaderFields = Readonly<Record<string, string | readonly string[]>>;
