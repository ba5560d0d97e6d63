import { isDeepStrictEqual } from "node:util";
import type { ConfigurationRemark } from "./ConfigurationRemark.js";
import { ConfigurationTable } from "./ConfigurationTable.js";
import type { ReviewedConfiguration } from "./ReviewedConfiguration.js";

type Entry = Readonly<Record<string, unknown>>;

/**
 * Finds what a configuration changes: entries that are added, removed or changed, by field, and how many keys of an account come and go;
 * no key is named.
 * @param before - The configuration in force.
 * @param after - The configuration that is to replace it.
 */
export function findChanges(
    before: ReviewedConfiguration,
    after: ReviewedConfiguration,
): readonly ConfigurationRemark[] {
    return Object.values(ConfigurationTable).flatMap(table => {
        const [old, next] = [before, after].map(configuration => createEntries(table, configuration));
        const names = [...new Set([...old!.keys(), ...next!.keys()])];
        return names.flatMap(name => {
            const keyChanges = table === ConfigurationTable.Accounts ? findKeyChanges(name, before, after) : [];
            return [...findEntryChanges(old!.get(name), next!.get(name)), ...keyChanges]
                .map(message => ({ table, name, message }));
        });
    });
}

function createEntries(table: ConfigurationTable, configuration: ReviewedConfiguration): ReadonlyMap<string, Entry> {
    return new Map(configuration[table].map(entry => [entry.name, { ...entry }]));
}

function findEntryChanges(before: Entry | undefined, after: Entry | undefined): readonly string[] {
    if (before === undefined) {
        return ["added"];
    }
    if (after === undefined) {
        return ["removed"];
    }
    return [...new Set([...Object.keys(before), ...Object.keys(after)])]
        .filter(field => !isDeepStrictEqual(before[field], after[field]))
        .map(field => `${field} ${formatChange(before[field], after[field])}`);
}

function formatChange(before: unknown, after: unknown): string {
    const verb = typeof before !== "number" || typeof after !== "number"
        ? "changed"
        : after > before
        ? "raised"
        : "lowered";
    return `${verb} from ${formatValue(before)} to ${formatValue(after)}`;
}

function formatValue(value: unknown): string {
    return value === undefined ? "none" : JSON.stringify(value);
}

function findKeyChanges(
    account: string,
    before: ReviewedConfiguration,
    after: ReviewedConfiguration,
): readonly string[] {
    const [old, next] = [before, after].map(({ accountsByKey }) =>
        new Set([...accountsByKey].filter(([, owner]) => owner === account).map(([key]) => key))
    );
    const added = [...next!].filter(key => !old!.has(key)).length;
    const withdrawn = [...old!].filter(key => !next!.has(key)).length;
    return [
        ...(added === 0 ? [] : [`keys added: ${added}`]),
        ...(withdrawn === 0 ? [] : [`keys withdrawn: ${withdrawn}`]),
    ];
}
