/** How a program of the project is started. */
export interface ChildProgramOptions {
    /** Names the process, for example "entry-1". */
    readonly name: string;
    /** The program's name below dist/src/bin, for example "fuchsiapath-entry". */
    readonly program: string;
    readonly args: readonly string[];
    /** Receives each line of standard error. */
    readonly listener?: (line: string) => void;
}
