import type { z } from "zod";
import type { Finding } from "../../errors/index.js";
import type { Account } from "../Account.js";
import type { AccountKey } from "../AccountKey.js";
import type { ConfigurationDocument } from "../ConfigurationDocument.js";
import type { Route } from "../Route.js";
import {
    accountKeySchema,
    accountSchema,
    checkSchema,
    documentFrameSchema,
    formatPlace,
    nameSchema,
    routeSchema,
    sectionFrameSchema,
    serviceSchema,
} from "../schema/index.js";
import type { Section } from "../Section.js";
import type { Service } from "../Service.js";
import type { DocumentItems } from "./DocumentItems.js";
import type { PlacedItem } from "./PlacedItem.js";

/** Reads a document item by item, so that a malformed item does not hide findings about the others. */
export class DocumentReader implements DocumentItems {
    readonly owners = new Map<string, readonly string[]>();
    readonly accounts: PlacedItem<Account>[] = [];
    readonly keys: PlacedItem<AccountKey>[] = [];
    readonly routes: PlacedItem<Route>[] = [];
    readonly services: PlacedItem<Service>[] = [];
    readonly malformedNames = new Set<string>();
    readonly findings: Finding[] = [];
    readonly #sections: Record<string, Section> = {};
    readonly #checkedSections: ReadonlySet<string>;

    /** @param checkedSections - Sections whose items have already been checked individually. */
    constructor(checkedSections: ReadonlySet<string>) {
        this.#checkedSections = checkedSections;
    }

    /**
     * Reads the document.
     * @param value - The parsed JSON of the document.
     */
    read(value: unknown): ConfigurationDocument {
        const document = checkSchema(documentFrameSchema, value, "", this.findings);
        for (const [name, section] of Object.entries(document?.sections ?? {})) {
            if (this.#checkedSections.has(name)) {
                this.#addCheckedSection(name, section as Section);
            }
            else {
                this.#readSection(name, section);
            }
        }
        return { sections: this.#sections };
    }

    #readSection(name: string, value: unknown): void {
        const place = formatPlace("sections", [name]);
        checkSchema(nameSchema, name, place, this.findings);
        checkSchema(sectionFrameSchema, value, place, this.findings);
        const fields = getFields(value);
        const owners = getList(fields.owners) as readonly string[] | undefined ?? [];
        this.owners.set(name, owners);
        this.#sections[name] = {
            owners,
            ...this.#readItems(name, "accounts", getList(fields.accounts), accountSchema, this.accounts),
            ...this.#readItems(name, "keys", getList(fields.keys), accountKeySchema, this.keys),
            ...this.#readItems(name, "routes", getList(fields.routes), routeSchema, this.routes),
            ...this.#readItems(name, "services", getList(fields.services), serviceSchema, this.services),
        };
    }

    #addCheckedSection(name: string, section: Section): void {
        this.owners.set(name, section.owners);
        this.#sections[name] = section;
        addItems(name, "accounts", section.accounts, this.accounts);
        addItems(name, "keys", section.keys, this.keys);
        addItems(name, "routes", section.routes, this.routes);
        addItems(name, "services", section.services, this.services);
    }

    #readItems<T>(
        section: string,
        kind: keyof Section,
        values: readonly unknown[] | undefined,
        schema: z.ZodType<T>,
        items: PlacedItem<T>[],
    ): { [field: string]: T[]; } {
        if (values === undefined) {
            return {};
        }
        const start = items.length;
        for (const [index, value] of values.entries()) {
            this.#readItem(section, formatPlace("sections", [section, kind, index]), value, schema, items);
        }
        return { [kind]: items.slice(start).map(item => item.value) };
    }

    #readItem<T>(section: string, place: string, value: unknown, schema: z.ZodType<T>, items: PlacedItem<T>[]): void {
        const item = checkSchema(schema, value, place, this.findings);
        if (item !== undefined) {
            items.push({ place, section, value: item });
            return;
        }
        const { name } = getFields(value);
        if (typeof name === "string") {
            this.malformedNames.add(name);
        }
    }
}

function addItems<T>(
    section: string,
    kind: keyof Section,
    values: readonly T[] | undefined,
    items: PlacedItem<T>[],
): void {
    values?.forEach((value, index) => {
        items.push({ place: formatPlace("sections", [section, kind, index]), section, value });
    });
}

function getFields(value: unknown): Readonly<Record<string, unknown>> {
    return typeof value === "object" && value !== null ? value as Record<string, unknown> : {};
}

function getList(value: unknown): readonly unknown[] | undefined {
    return Array.isArray(value) ? value : undefined;
}
