package dunlinladder.lifecycle;

import dunlinladder.apiformat.ReferencePages;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Writes the reference pages, which are generated from the tables that the program itself uses; see {@code make docs}.
 */
public final class ReferenceDocs {

    private ReferenceDocs() {}

    /**
     * Writes {@code fields.md} and {@code errors.md}.
     *
     * @param args the target folder, which is created if it is absent
     */
    public static void main(String[] args) throws IOException {
        Path docs = Path.of(args[0]);
        Files.createDirectories(docs);
        Files.writeString(docs.resolve("fields.md"), ReferencePages.fields());
        Files.writeString(docs.resolve("errors.md"), ReferencePages.errors());
    }
}
