# The stand-ins of review/6 on, built like the programs of the project.
include Makefile
$(O)/review/standin-2/%: $(O)/review/standin-2/%.c.o $(LIB)
	$(CXX) $(SANFLAGS) -o $@ $^ $(DEP_LIBS)
