import { ChunksMissingError, FindingsError, StoreUnavailableError, TooManyConflictsError } from "../../errors/index.js";
import { UnsettledChangeError } from "../../errors/index.js";
import type { Head, HeadChange, HeadContent } from "../../head/index.js";
import { checkDocument } from "../checks/index.js";
import { createDigest } from "../chunks/index.js";
import { AuditTrail } from "./AuditTrail.js";
import type { Change } from "./Change.js";
import type { ChangeAnswer } from "./ChangeAnswer.js";
import { ChangeAnswerKind } from "./ChangeAnswerKind.js";
import { ChangeMerger } from "./ChangeMerger.js";
import type { ChangeServiceOptions } from "./ChangeServiceOptions.js";
import { createAuditedOperation } from "./createAuditedOperation.js";
import { isCovered } from "./isCovered.js";
import type { MergeResult } from "./MergeResult.js";
import { SectionWriter } from "./SectionWriter.js";

const MAJORITY_TIMEOUT_MS = 4_000;

/**
 * Puts changes of operators in force. Each step leaves the configuration as it was until the head is written: first
 * the chunks, then the audit record, then the head by compare-and-swap.
 */
export class ChangeService {
    readonly #options: ChangeServiceOptions;
    readonly #auditTrail: AuditTrail;
    readonly #sectionWriter: SectionWriter;

    /** @param options - What it works with. */
    constructor(options: ChangeServiceOptions) {
        this.#options = options;
        this.#auditTrail = new AuditTrail(options.store);
        this.#sectionWriter = new SectionWriter(options.store, options.loader);
    }

    /**
     * Applies a change, or finds the outcome of the change with this id if it was applied before.
     * @param change - The change.
     */
    async apply(change: Change): Promise<ChangeAnswer> {
        const attempt = { isWritten: false };
        try {
            const entry = findEntry(this.#options.loader.getHead(), change) ?? await this.#write(change, attempt);
            checkIsSameChange(entry, change);
            return await this.#waitForConfirmation(entry.version);
        }
        catch (error) {
            return createFailureAnswer(error, attempt.isWritten);
        }
    }

    /**
     * Finds the outcome of a change by its id alone; undefined if no version has it so far.
     * @param changeId - The change's id.
     */
    async findOutcome(changeId: string): Promise<ChangeAnswer | undefined> {
        const version = findVersion(this.#options.loader.getHead(), changeId) ??
            await this.#findStoredVersion(changeId);
        return version === undefined ? undefined : await this.#waitForConfirmation(version);
    }

    async #findStoredVersion(changeId: string): Promise<number | undefined> {
        const head = (await this.#options.headStore.read())?.head;
        if (head === undefined) {
            return undefined;
        }
        await this.#publish(head);
        const entry = await this.#auditTrail.findChange(head, changeId, 0);
        return findVersion(head, changeId) ?? entry?.record.version;
    }

    async #write(change: Change, attempt: { isWritten: boolean; }): Promise<HeadChange> {
        let oldEntry: HeadChange | undefined;
        const head = await this.#options.headStore.apply(change.id, async current => {
            oldEntry = await this.#findOldEntry(current, change);
            if (oldEntry !== undefined) {
                return undefined;
            }
            const content = await this.#createContent(current, change);
            attempt.isWritten = true;
            return content;
        });
        await this.#publish(head);
        return oldEntry ?? findEntry(head, change)!;
    }

    /** A head that can't be installed here yet spreads by way of other hosts. */
    async #publish(head: Head): Promise<void> {
        try {
            await this.#options.publishHead(head);
        }
        catch {
            return;
        }
    }

    /** Looks a change up in the audit trail when the head's change list no longer reaches back to its base version. */
    async #findOldEntry(head: Head, change: Change): Promise<HeadChange | undefined> {
        if (isCovered(head, change.baseVersion)) {
            return undefined;
        }
        const entry = await this.#auditTrail.findChange(head, change.id, change.baseVersion);
        const record = entry?.record;
        return record && { id: record.changeId, version: record.version, digest: record.digest };
    }

    async #waitForConfirmation(version: number): Promise<ChangeAnswer> {
        const isConfirmed = await this.#options.waitForMajority(version, MAJORITY_TIMEOUT_MS);
        return { kind: isConfirmed ? ChangeAnswerKind.Accepted : ChangeAnswerKind.Unconfirmed, version };
    }

    async #createContent(head: Head, change: Change): Promise<HeadContent> {
        const sections = await this.#options.loader.readSections(head);
        const merged = new ChangeMerger(head, sections, change).run();
        checkMerged(merged);
        const references = await this.#sectionWriter.write(head, merged);
        const changeDigest = createChangeDigest(change);
        const auditKey = await this.#auditTrail.write({
            version: head.version + 1,
            changeId: change.id,
            operator: change.operator,
            time: this.#options.clock.getWallTime(),
            baseVersion: change.baseVersion,
            operations: change.operations.map(createAuditedOperation),
            digest: changeDigest,
            ...(head.lastAuditKey === undefined ? {} : { previous: head.lastAuditKey }),
        });
        const removedSections = createRemovedSections(head, merged);
        return { ...head, sections: references, removedSections, auditKey, changeDigest };
    }
}

function checkMerged(merged: MergeResult): void {
    const names = Object.keys(merged.sections).filter(name => !merged.putSections.has(name));
    const { findings } = checkDocument({ sections: merged.sections }, { checkedSections: new Set(names) });
    const allFindings = [...merged.findings, ...findings];
    if (allFindings.length > 0) {
        throw new FindingsError(allFindings);
    }
}

function createRemovedSections(head: Head, merged: MergeResult): Record<string, number> {
    const oldest = head.changes[0]?.version ?? 0;
    const known = Object.entries(head.removedSections ?? {})
        .filter(([name, version]) => version >= oldest && merged.sections[name] === undefined);
    const removed = [...merged.touchedSections].filter(name =>
        merged.sections[name] === undefined && head.sections[name] !== undefined
    );
    return Object.fromEntries([...known, ...removed.map(name => [name, head.version + 1] as const)]);
}

function findVersion(head: Head, changeId: string): number | undefined {
    return head.changes.find(known => known.id === changeId)?.version;
}

function findEntry(head: Head, change: Change): HeadChange | undefined {
    return head.changes.find(known => known.id === change.id);
}

function checkIsSameChange(entry: HeadChange, change: Change): void {
    if (entry.digest !== createChangeDigest(change)) {
        throw new FindingsError([{ place: "id", message: `version ${entry.version} has another change of this id` }]);
    }
}

function createChangeDigest(change: Change): string {
    return createDigest(JSON.stringify([change.operator, change.baseVersion, change.operations]));
}

function createFailureAnswer(error: unknown, isOutcomeUnknown: boolean): ChangeAnswer {
    if (error instanceof FindingsError) {
        return { kind: ChangeAnswerKind.Refused, findings: error.findings };
    }
    if (error instanceof TooManyConflictsError) {
        return { kind: ChangeAnswerKind.Unavailable, detail: error.message, isOutcomeUnknown: false };
    }
    const isStoreFault = error instanceof StoreUnavailableError || error instanceof ChunksMissingError ||
        error instanceof UnsettledChangeError;
    if (isStoreFault) {
        return { kind: ChangeAnswerKind.Unavailable, detail: error.message, isOutcomeUnknown };
    }
    throw error;
}
