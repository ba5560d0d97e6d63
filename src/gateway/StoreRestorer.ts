/** Writes to the store again what it has lost by returning from an older copy; calls reject with a StoreUnavailableError. */
export interface StoreRestorer {
    /** Writes the secret that hosts share, unless the store holds one. */
    restoreSecret(): Promise<void>;
    /**
     * Writes the configuration document in force beside that of the operators, for hosts that start before operators have written it
     * again.
     * @param value - The document's text.
     */
    restoreDocument(value: string): Promise<void>;
}
