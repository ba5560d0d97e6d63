import type { ConfigurationTable } from "./ConfigurationTable.js";

/** What is worth knowing of one entry before a configuration comes into force. */
export interface ConfigurationRemark {
    readonly table: ConfigurationTable;
    /** The entry's name. */
    readonly name: string;
    readonly message: string;
}
