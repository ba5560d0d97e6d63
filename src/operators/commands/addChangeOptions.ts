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
            describe: "version that the change was made from; the one in force if left out",
        })
        .option("change-id", { type: "string", describe: "id of the change, to ask again for its outcome" }) as never;
}
