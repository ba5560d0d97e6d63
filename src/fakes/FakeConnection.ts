/** A connection to a fake upstream. */
export interface FakeConnection {
    /** Whether the connection drops all messages. */
    isSilent: boolean;
    /** Time of the last complete answer, in milliseconds of the clock. */
    lastAnswerTime: number;
}
