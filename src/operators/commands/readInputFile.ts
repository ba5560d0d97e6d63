import { readFile } from "node:fs/promises";
import { FindingsError } from "../../errors/index.js";

/**
 * Reads a file given on the command line; throws a FindingsError if it can't be read.
 * @param path - The file's path.
 */
export async function readInputFile(path: string): Promise<string> {
    try {
        return await readFile(path, "utf8");
    }
    catch (error) {
        throw new FindingsError([{ place: path, message: (error as Error).message }]);
    }
}
