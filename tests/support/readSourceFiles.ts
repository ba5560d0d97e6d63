import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import ts from "typescript";

/**
 * Reads and parses the TypeScript files below a folder.
 * @param folder - The folder, from the project's root.
 */
export function readSourceFiles(folder: string): ts.SourceFile[] {
    const names = readdirSync(folder, { recursive: true, encoding: "utf8" }).filter(name => name.endsWith(".ts"))
        .sort();
    return names.map(name => {
        const path = join(folder, name);
        return ts.createSourceFile(path, readFileSync(path, "utf8"), ts.ScriptTarget.ES2022, true);
    });
}
