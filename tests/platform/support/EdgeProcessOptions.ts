/** What differs from the defaults of an entry host process. */
export interface EdgeProcessOptions {
    /** Arguments of Node. */
    readonly nodeArguments?: readonly string[];
    /** Settings that replace the defaults. */
    readonly settings?: Readonly<Record<string, unknown>>;
}
