/** The tables of a configuration whose entries have names. */
export enum ConfigurationTable {
    Accounts = "accounts",
    Routes = "routes",
    Services = "services",
}
