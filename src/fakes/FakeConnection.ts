/** A connection to a fake upstream. */
export interface FakeConnection {
    /** Whether nothing passes any more. */
    isSilent: boolean;
    /** When the last whole answer came, in milliseconds. */
    lastAnswerTime: number;
}
