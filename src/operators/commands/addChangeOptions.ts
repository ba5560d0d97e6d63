import type { Argv } from "yargs";

/**
 * Adds the options of commands that change the configuration.
 * @param builder - The command's parser.
 */
export function addChangeOptions<T>(
    builder: Argv<T>,
): Argv<T & { base: number | undefined; changeId: string | undefined; }> {
    return builder
        .option("base", {
            type: "number",
            describe: "version that the change was made from; the current one if omitted",
        })
        .option("change-id", {
            type: "string",
            describe: "id of the change, for retries and to query its outcome",
        }) as never;
}
