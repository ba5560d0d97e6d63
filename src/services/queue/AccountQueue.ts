/** The queued items of one account and the slot time that it was given. */
export interface AccountQueue<T> {
    readonly items: T[];
    weight: number;
    /** The virtual time at which its next item is due by its share of the slot time. */
    startTag: number;
    /** When an item of the account was refused for lack of room last, in milliseconds of the clock. */
    refusedTime: number;
}
