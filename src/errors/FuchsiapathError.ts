/** The base of every error that the system throws on purpose. */
export class FuchsiapathError extends Error {
    /**
     * @param message - What went wrong, for a log or an operator.
     * @param options - The cause, if any.
     */
    constructor(message: string, options?: ErrorOptions) {
        super(message, options);
        this.name = new.target.name;
    }
}
