import { dirname, join, relative } from "node:path";
import ts from "typescript";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { readSourceFiles } from "../support/readSourceFiles.js";

const files = [...readSourceFiles("src"), ...readSourceFiles("platform")];

test("imports run one way: no file imports itself over others, types included", () => {
    const imports = new Map(files.map(file => [getPath(file.fileName), findImports(file)]));
    assert.ok(imports.size > 500);
    assert.equal(findCircle(imports), undefined);
});

test("a circle is found", () => {
    const imports = new Map([["a", ["b"]], ["b", ["c", "d"]], ["c", []], ["d", ["a"]]]);
    assert.equal(findCircle(imports), ["a", "b", "d", "a"]);
});

test.run();

function getPath(fileName: string): string {
    return relative(process.cwd(), fileName);
}

function findImports(file: ts.SourceFile): string[] {
    return file.statements.flatMap(statement => {
        const isImport = ts.isImportDeclaration(statement) || ts.isExportDeclaration(statement);
        const specifier = isImport ? statement.moduleSpecifier : undefined;
        const text = specifier !== undefined && ts.isStringLiteral(specifier) ? specifier.text : "";
        return text.startsWith(".") ? [join(dirname(getPath(file.fileName)), text.replace(/\.js$/, ".ts"))] : [];
    });
}

/** Finds one circle, as the files on it. */
function findCircle(imports: ReadonlyMap<string, readonly string[]>): readonly string[] | undefined {
    const finished = new Set<string>();
    const find = (name: string, path: readonly string[]): readonly string[] | undefined => {
        if (path.includes(name)) {
            return [...path.slice(path.indexOf(name)), name];
        }
        if (finished.has(name)) {
            return undefined;
        }
        for (const next of imports.get(name) ?? []) {
            const circle = find(next, [...path, name]);
            if (circle !== undefined) {
                return circle;
            }
        }
        finished.add(name);
        return undefined;
    };
    for (const name of imports.keys()) {
        const circle = find(name, []);
        if (circle !== undefined) {
            return circle;
        }
    }
    return undefined;
}
