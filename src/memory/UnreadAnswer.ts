/** An answer that is being sent. */
export interface UnreadAnswer {
    readonly requestId: string;
    /** What it may hold if its reader doesn't take it, in bytes. */
    readonly bytes: number;
    /** Whether more of it is at hand than its reader has taken. */
    isBlocked(): boolean;
    /** Gets how much its reader has taken, in bytes. */
    getSentBytes(): number;
    /** Breaks the answer off, so that it doesn't look complete. */
    close(): void;
}
