/** What an item of the platform's store tells the product. */
export enum StoreItemKind {
    /** The operators' newest configuration. */
    Configuration = "configuration",
    /** An upstream that has registered itself. */
    Upstream = "upstream",
    /** An entry host of the fleet. */
    Host = "host",
    /** Something of no concern here. */
    Other = "other",
    /** An item that can't be read; it stands for nothing. */
    Invalid = "invalid",
}
