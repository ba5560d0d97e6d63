/** The base class of all errors that this system throws deliberately. */
export class FuchsiapathError extends Error {
    /**
     * @param message - A description for the log or an operator.
     * @param options - The cause, if any.
     */
    constructor(message: string, options?: ErrorOptions) {
        super(message, options);
        this.name = new.target.name;
    }
}
